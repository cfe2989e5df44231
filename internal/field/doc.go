// Package field carries HTTP header fields between daemons and removes those that concern one connection.
package field
