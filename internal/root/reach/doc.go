// Package reach decides which backend servers a request may be sent to, whatever their load.
package reach
