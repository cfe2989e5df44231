// Package netest has listeners for tests: one whose process can be replaced, and one that neither accepts nor refuses.
package netest
