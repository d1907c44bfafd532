// Package crantenant defines the tenants of a deployment, and authenticates callers by
// their keys.
//
// A [Directory] holds the tenants of one version of the configuration. It never changes,
// so a process replaces it as a whole together with the configuration.
package crantenant
