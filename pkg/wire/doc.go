// Package wire encodes and decodes the messages that buckthornpitch processes exchange: protobuf
// bodies in length-prefixed frames with a kind and a size that is checked before allocation.
package wire
