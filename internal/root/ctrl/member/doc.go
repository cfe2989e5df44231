// Package member keeps the registry of backend server instances. LocalInstances, in each daemon, leases the
// announcements of the local backend server and numbers its incarnations. Registry, on the leader, binds
// the lifetime of instances to the heartbeats of their daemons and computes, for each daemon, a view of each
// service that it calls. Views, in each daemon, applies the changes of these views.
package member
