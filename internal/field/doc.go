// Package field converts HTTP header fields for messages between daemons and removes hop-by-hop fields.
package field
