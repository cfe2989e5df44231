// Package crowd opens many connections that behave as clients outside of the operators' control do, and reads what they
// cost a process. The tests in platform/crowd and the command buckthornbench crowd use it.
package crowd
