// Package meter holds the Prometheus metrics of the daemon; every label has a bounded set of values.
package meter
