// Package admit is the admission control of the data path. A Limiter decides which requests run on a
// backend server now, which wait in its queue and which are refused. A Throttle refuses calls at their
// first daemon while an overloaded service refuses most calls of the same route and importance.
package admit
