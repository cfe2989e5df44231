// Command buckthornctl is the operators' client of buckthornpitch.
package main
