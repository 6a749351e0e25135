package org.tarragonarch.core.node;

import java.util.Random;
import org.tarragonarch.core.admission.AdmissionControl;
import org.tarragonarch.core.claim.IdempotencyKeys;
import org.tarragonarch.core.configuration.ConfigurationReplica;
import org.tarragonarch.core.endpoint.EndpointDirectory;
import org.tarragonarch.core.lifecycle.Lifecycle;
import org.tarragonarch.core.membership.PeerDirectory;
import org.tarragonarch.core.membership.ReportSource;
import org.tarragonarch.core.quota.SharedLimits;
import org.tarragonarch.core.runtime.RunTimeEstimator;
import org.tarragonarch.core.submission.Dispatcher;
import org.tarragonarch.core.submission.ServiceLanes;
import org.tarragonarch.core.submission.SubmissionTable;
import org.tarragonarch.core.submission.WaitEstimates;
import org.tarragonarch.model.id.ServiceName;
import org.tarragonarch.model.id.TeamName;
import org.tarragonarch.model.service.ServiceDefinition;
import org.tarragonarch.model.service.TeamDefinition;

/** Creates and connects the components of a node. */
final class NodeParts {
    final ConfigurationReplica configuration;
    final EndpointDirectory endpoints;
    final PeerDirectory peers;
    final SharedLimits<TeamName> quotas;
    final SharedLimits<ServiceName> services;
    final SubmissionTable submissions = SubmissionTable.create();
    final ServiceLanes lanes = ServiceLanes.create();
    final IdempotencyKeys keys;
    final Dispatcher dispatcher;
    final AdmissionControl admission;
    final Lifecycle lifecycle;
    final ReportSource reportSource;

    NodeParts(NodeIdentity identity, NodePolicy policy, long seed) {
        Random random = new Random(seed);
        this.configuration = ConfigurationReplica.create(policy);
        this.endpoints = EndpointDirectory.create(identity.node(), identity.domain(), random, policy.placement());
        this.peers = PeerDirectory.create(identity, policy);
        this.quotas = SharedLimits.create(identity.node(), this::maxRunningTasks);
        this.services = SharedLimits.create(identity.node(), this::maxRunningTasks);
        this.keys = IdempotencyKeys.create(identity, policy, random);
        RunTimeEstimator runTimes = RunTimeEstimator.create();
        WaitEstimates estimates = WaitEstimates.create(lanes, endpoints, quotas, services, runTimes);
        this.dispatcher = Dispatcher.create(submissions, lanes, estimates, endpoints, quotas, services, runTimes, keys);
        this.keys.connect(dispatcher);
        this.admission = AdmissionControl.create(lanes, estimates, endpoints);
        this.lifecycle = Lifecycle.create(policy);
        this.reportSource = new NodeReportSource(lifecycle, configuration, endpoints.views());
    }

    private int maxRunningTasks(TeamName team) {
        return configuration
                .inForce()
                .flatMap(catalog -> catalog.team(team))
                .map(TeamDefinition::maxRunningTasks)
                .orElse(1);
    }

    private int maxRunningTasks(ServiceName service) {
        return configuration
                .inForce()
                .flatMap(catalog -> catalog.service(service))
                .map(ServiceDefinition::maxRunningTasks)
                .orElse(1);
    }
}
