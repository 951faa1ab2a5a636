// Package handover connects a process of the dispatcher with its successor, the
// process that replaces it. Both open a unix socket in a directory that they share
// and exchange messages, each one JSON object on a line.
//
// Peers may be of different builds: the names of the socket's file and of the JSON
// keys are fixed, unknown keys are ignored, and what a message does not say is left
// out of it. The package does not decide what a process does with a message, and
// neither process waits for the other.
package handover
