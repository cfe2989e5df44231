// Package config reads and checks the TOML settings of buckthornd, and derives their documentation from
// the struct tags of Settings.
package config
