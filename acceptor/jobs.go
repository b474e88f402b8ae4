package acceptor

import (
	"time"

	"github.com/kataras/iris/v12"

	"corianderroad/classifier"
	"corianderroad/commander"
	"corianderroad/identifier"
)

// Submit is the JSON form of commander.Submit. The token determines the workspace.
type Submit struct {
	Job          identifier.Job    `json:"job"`
	Region       identifier.Region `json:"region,omitempty"`
	Members      int               `json:"members"`
	Accelerators int               `json:"accelerators"`
	// Adjacency is "any-rack" or "same-rack", empty for any-rack.
	Adjacency string `json:"adjacency,omitempty"`
	// RunTime is a duration such as "2h", empty if not declared.
	RunTime string `json:"run-time,omitempty"`
	Urgent  bool   `json:"urgent,omitempty"`
}

// Cancel is the JSON form of commander.Cancel. The token determines the workspace.
type Cancel struct {
	Job identifier.Job `json:"job"`
}

func (acceptor *Acceptor) handleSubmit(ctx iris.Context) {
	var submit Submit
	workspace, err := acceptor.readWorkspaceCommand(ctx, &submit)
	if err != nil {
		acceptor.refuse(ctx, err)
		return
	}
	spec, err := submit.spec(workspace)
	if err != nil {
		acceptor.refuse(ctx, err)
		return
	}
	acceptor.executeAndAnswer(ctx, commander.Submit{Workspace: workspace, Job: spec})
}

func (submit Submit) spec(workspace identifier.Workspace) (commander.JobSpec, error) {
	spec := commander.JobSpec{
		Job: submit.Job, Workspace: workspace, Region: submit.Region, Urgent: submit.Urgent,
		Shape: commander.Shape{Members: submit.Members, Accelerators: submit.Accelerators},
	}
	switch submit.Adjacency {
	case "", "any-rack":
	case "same-rack":
		spec.Shape.Adjacency = commander.SameRack
	default:
		return spec, classifier.New(classifier.BadRequest, "adjacency is %q, but must be any-rack or same-rack", submit.Adjacency)
	}
	if submit.RunTime != "" {
		runTime, err := time.ParseDuration(submit.RunTime)
		if err != nil {
			return spec, classifier.New(classifier.BadRequest, "run-time is %q, but must be a duration with a unit such as 2h", submit.RunTime)
		}
		spec.RunTime = runTime
	}
	return spec, nil
}

func (acceptor *Acceptor) handleCancel(ctx iris.Context) {
	var cancel Cancel
	workspace, err := acceptor.readWorkspaceCommand(ctx, &cancel)
	if err != nil {
		acceptor.refuse(ctx, err)
		return
	}
	acceptor.executeAndAnswer(ctx, commander.Cancel{Workspace: workspace, Job: cancel.Job})
}

// readWorkspaceCommand decodes a command and returns the workspace of its token.
func (acceptor *Acceptor) readWorkspaceCommand(ctx iris.Context, command any) (identifier.Workspace, error) {
	if err := readJSON(ctx, maxCommandBytes, command); err != nil {
		return "", err
	}
	return acceptor.Access.Workspace(BearerToken(ctx))
}
