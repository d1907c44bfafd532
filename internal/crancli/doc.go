// Package crancli is the command line of cranberrypick: commands that are
// thin over the library.
//
// Exit codes: 0 success; 1 refused or failed, with the fault on standard
// error; 2 a command line, settings or configuration that cannot be used;
// 3 the outcome is unknown, look at the status.
package crancli
