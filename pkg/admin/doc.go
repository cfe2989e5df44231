// Package admin defines the paths and the JSON reports of the operators' endpoint, and a client for it.
package admin
