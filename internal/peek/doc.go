// Package peek tells the state of a connection without reading from it or writing to it.
package peek
