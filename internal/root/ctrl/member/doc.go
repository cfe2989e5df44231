// Package member keeps the registry of backend server instances. Local is the part beside a backend
// server: it leases announcements and numbers incarnations. Registry is the part on the leader: it binds
// instances to their daemon's beat and computes, for each daemon, a view of each service that it calls.
// Views is the part in each daemon that receives the differences.
package member
