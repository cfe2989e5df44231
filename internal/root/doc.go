// Package root is the root supervisor of buckthornd: it builds the parts of a daemon from its settings
// and runs them as one tree.
package root
