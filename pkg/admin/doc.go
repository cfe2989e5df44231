// Package admin holds the reports of the operators' endpoint as JSON types, its paths, and a client.
package admin
