// Package cransettings reads the settings of one entry instance.
//
// Settings say who a process is and where it listens: they are read once, at
// the start, from a TOML file with camel-case keys. What the fleet looks
// like is not a setting; operators publish that as configuration.
//
// A Key describes one setting: its path, type, unit, default and bound. The
// table of keys drives the parser, the page docs/settings.md and the
// suggestions for unknown keys, so that they agree. A Settings value is
// immutable and whole: every value is within its bound and the values fit
// each other.
//
// Parse reports every fault of a file at once, in order of position, and
// each Fault names file, line, column, what is wrong and the remedy.
package cransettings
