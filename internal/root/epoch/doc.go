// Package epoch counts the epochs of a backend server: a new one begins when its connections show that another process
// may have taken its place.
package epoch
