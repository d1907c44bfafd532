// Package crandeployment holds the configurations of the users' two
// deployments at today's sizes. The programs in examples/ print them and the
// demonstration runs them.
package crandeployment
