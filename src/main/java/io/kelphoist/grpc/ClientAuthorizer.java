package io.kelphoist.grpc;

import io.grpc.Context;
import io.grpc.Contexts;
import io.grpc.Grpc;
import io.grpc.Metadata;
import io.grpc.ServerCall;
import io.grpc.ServerCallHandler;
import io.grpc.ServerInterceptor;
import io.kelphoist.admission.AdmissionResult;
import io.kelphoist.config.TeamAccess;
import io.kelphoist.model.JobOwner;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.security.Principal;
import java.util.Map;
import java.util.Set;
import javax.naming.InvalidNameException;
import javax.naming.ldap.LdapName;
import javax.naming.ldap.Rdn;
import javax.net.ssl.SSLPeerUnverifiedException;
import javax.net.ssl.SSLSession;

/**
 * Identifies the client of each call and looks up in the settings which teams it may submit for and
 * watch. A client is identified by the common name of its certificate, or by its address if it has
 * no certificate. The client is attached to the call's context.
 */
final class ClientAuthorizer implements ServerInterceptor {
    /**
     * A client and its permissions.
     *
     * @param access the teams that the client may submit for and watch
     */
    record Client(String name, TeamAccess access) {
        /** Whether the client may submit for and watch a team. */
        boolean isAllowed(String team) {
            return !(access instanceof TeamAccess.NamedTeams named) || named.teams().contains(team);
        }

        /**
         * Whether the client may see a job.
         *
         * @param owner null if the job's record has no owner; then only a client with access to all
         *     teams may see the job
         */
        boolean isAllowed(JobOwner owner) {
            return !(access instanceof TeamAccess.NamedTeams named)
                    || (owner != null && named.teams().contains(owner.team()));
        }

        /** Whether the client may not submit for or watch any team. */
        boolean hasNoTeam() {
            return access instanceof TeamAccess.NamedTeams named && named.teams().isEmpty();
        }

        /** Whether the result is the state of a job that the client may not see. */
        boolean mustNotSee(AdmissionResult result) {
            return result instanceof AdmissionResult.Found found && !isAllowed(found.job().owner());
        }

        /** Returns the result, or NotFound in place of a job that the client may not see. */
        AdmissionResult visibleResult(AdmissionResult result) {
            return mustNotSee(result) ? new AdmissionResult.NotFound() : result;
        }
    }

    /** The key of the client in the context of its call. */
    static final Context.Key<Client> CLIENT = Context.key("client");

    private static final String COMMON_NAME = "CN";
    private static final String UNKNOWN_CLIENT = "unknown";
    private static final TeamAccess NO_TEAM = new TeamAccess.NamedTeams(Set.of());

    private final Map<String, TeamAccess> accessByClient;

    /**
     * Creates an authorizer.
     *
     * @param accessByClient by the client's name. If it is empty, every client may submit for and
     *     watch all teams; otherwise clients that are not in it may do so for none
     */
    ClientAuthorizer(Map<String, TeamAccess> accessByClient) {
        this.accessByClient = accessByClient;
    }

    @Override
    public <Q, A> ServerCall.Listener<Q> interceptCall(
            ServerCall<Q, A> call, Metadata headers, ServerCallHandler<Q, A> next) {
        String name = clientName(call);
        Client client = new Client(name, accessOf(name));
        return Contexts.interceptCall(
                Context.current().withValue(CLIENT, client), call, headers, next);
    }

    private TeamAccess accessOf(String clientName) {
        return accessByClient.isEmpty()
                ? new TeamAccess.AllTeams()
                : accessByClient.getOrDefault(clientName, NO_TEAM);
    }

    private static String clientName(ServerCall<?, ?> call) {
        SSLSession session = call.getAttributes().get(Grpc.TRANSPORT_ATTR_SSL_SESSION);
        if (session != null) {
            try {
                Principal subject = session.getPeerPrincipal();
                for (Rdn rdn : new LdapName(subject.getName()).getRdns()) {
                    if (rdn.getType().equalsIgnoreCase(COMMON_NAME)) {
                        return rdn.getValue().toString();
                    }
                }
            } catch (SSLPeerUnverifiedException | InvalidNameException e) {
                // Without a valid certificate, the client is identified by its address.
            }
        }
        SocketAddress address = call.getAttributes().get(Grpc.TRANSPORT_ATTR_REMOTE_ADDR);
        return address instanceof InetSocketAddress inetAddress
                ? inetAddress.getAddress().getHostAddress()
                : UNKNOWN_CLIENT;
    }
}
