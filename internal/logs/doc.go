// Package logs writes log events as one line of key=value pairs each.
package logs
