// Package crancli implements the command line of cranberrypick. Its commands
// are thin wrappers of other packages.
//
// The exit codes are 0 for success; 1 if the command was refused or failed, with
// the fault on standard error; 2 for an invalid command line, invalid settings
// or an invalid configuration; and 3 if the outcome is unknown, so that the
// operator must look at the status.
package crancli
