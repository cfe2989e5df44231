// Package peek tells the state of a connection without reading from it.
package peek
