// Package watch watches the rules file and reports its content after each change.
package watch
