// Package share bounds the use that one daemon makes of resources shared by the whole fleet: the retries to a
// service, the rate of a client account while no tokens are granted, and the services that a route is split
// among. It is pure: callers pass in the time.
package share
