package scheduler

import (
	"time"

	"corianderroad/identifier"
	"corianderroad/messenger"
)

// handleConfigurationChanged replaces the workspaces by those of a configuration.
func (scheduler *Scheduler) handleConfigurationChanged(now time.Time, configuration *messenger.Configuration) {
	scheduler.workspaces = make(map[identifier.Workspace]messenger.WorkspaceSpec)
	for _, organisation := range configuration.Organisations {
		for _, workspace := range organisation.Workspaces {
			scheduler.workspaces[workspace.Workspace] = workspace
		}
	}
	for _, region := range scheduler.regions {
		scheduler.requestPlan(now, region)
	}
}
