// Package head checks the head of HTTP messages more strictly than net/http, whose reader passes on some that RFC 9110
// and RFC 9112 call malformed.
//
// Its errors quote nothing of the message, so that no log line holds a part of it.
package head
