// Package spread chooses one of several servers whose load is known only from reports of some age, while other
// daemons choose among the same servers at the same time. It answers one load condition: all daemons send to the
// server that looked idle in its last report, so that servers are overloaded in turn while others are idle.
//
// It is pure: callers pass in the reports and their ages.
package spread
