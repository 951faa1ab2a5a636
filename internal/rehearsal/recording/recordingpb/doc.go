// Package recordingpb holds the protocol buffers of recording files, generated from
// recording.proto. Package recording reads and writes them; the names and numbers of the fields
// are the file format.
package recordingpb
