// Package cases lists malformed heads of HTTP responses for the tests of everything that reads responses.
package cases
