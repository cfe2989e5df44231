// Package share bounds what one daemon takes of things that the whole fleet shares: the retries to a
// service, and the parts of a route that is divided among services. It is pure.
package share
