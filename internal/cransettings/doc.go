// Package cransettings reads the settings of one entry instance.
//
// Settings describe one process, such as its name, its addresses and its
// limits. They are read once at start from a TOML file with camel-case keys.
// The pools and services of the fleet are not settings; operators publish them
// as configuration.
//
// A Key describes one setting: its path, type, unit, default and allowed
// values. The table of keys drives the parser, the page docs/settings.md and
// the suggestions for unknown keys, so that they agree. A Settings value is
// immutable and valid: every value is allowed and the values are consistent
// with each other.
//
// Parse reports all faults of a file at once, in order of position. Each Fault
// has the file, line and column, a message and a remedy.
package cransettings
