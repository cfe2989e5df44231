// Package probe tells from the connections to a backend server whether the server may have restarted.
package probe
