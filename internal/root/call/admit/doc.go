// Package admit decides which calls an instance runs now, which wait and which are refused, and
// throttles calls at their first daemon when an overloaded service refuses them.
package admit
