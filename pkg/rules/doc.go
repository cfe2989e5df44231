// Package rules parses, checks, formats and compares the rules file, and looks up routes and keys in
// the immutable Set that results from it.
package rules
