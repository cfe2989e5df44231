// Package admin serves the operators' endpoint: status, rules, history, state dump and metrics.
package admin
