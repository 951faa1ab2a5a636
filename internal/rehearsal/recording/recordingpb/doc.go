// Package recordingpb contains the protocol buffer messages of recording files, generated from
// recording.proto. Package recording reads and writes them. The names and numbers of the fields are part
// of the file format.
package recordingpb
