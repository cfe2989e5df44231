// Package codec encodes consensus messages as wire frames and decodes them with their checks.
package codec
