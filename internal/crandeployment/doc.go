// Package crandeployment defines the configurations of the two existing deployments, Head
// Office and the Cooperative, at their current sizes. The programs in examples/ print them,
// and the demonstration in package crandemo runs them.
package crandeployment
