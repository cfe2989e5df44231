// Package head checks the head of HTTP messages more strictly than net/http, whose reader passes on some that RFC 9110
// and RFC 9112 call malformed.
package head
