// Package handover connects a process of the dispatcher, the predecessor, to the process
// that replaces it, the successor. The predecessor listens on a unix socket in a directory
// that both use, and the successor connects to it. They exchange messages, each of which is
// a JSON object on one line.
//
// The two processes may be of different builds: the name of the socket file and the JSON
// keys must not change, unknown keys are ignored, and empty fields are left out of a
// message. The package does not decide what a process does with a message, and neither
// process blocks until the other one answers.
package handover
