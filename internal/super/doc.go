// Package super builds the supervisor tree: groups of children that are restarted one by one after a
// failure and that stop together.
package super
