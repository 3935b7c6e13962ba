// Package messenger holds the typed messages and calls between shallotkeel's
// own processes, generated from messenger.proto with twirp.
//
// Invariants: every call may be lost, repeated or answered late, so each
// message is either idempotent or carries a number that lets the receiver
// recognise a repeat; and all of it is control traffic, counted in bytes.
package messenger
