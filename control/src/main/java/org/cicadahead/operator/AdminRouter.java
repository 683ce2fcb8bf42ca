package org.cicadahead.operator;

import java.util.List;
import java.util.Map;
import org.cicadahead.model.ResourceKind;

/** Routes requests of the admin API by path and method. Thread-safe. */
final class AdminRouter {
    private static final String GET = "GET";
    private static final String PUT = "PUT";
    private static final String POST = "POST";
    private static final String DELETE = "DELETE";

    private final ResourceRequests resources;
    private final KeyRequests keys;
    private final FleetRequests fleet;

    AdminRouter(AdminBackend backend) {
        resources = new ResourceRequests(backend);
        keys = new KeyRequests(backend, resources);
        fleet = new FleetRequests(backend);
    }

    AdminReply serve(AdminRequest request) throws AdminException {
        Map<String, Action> actions = actions(request.path());
        if (actions.isEmpty()) {
            throw new AdminException(AdminProblem.NOT_FOUND, "there is no such path");
        }
        Action action = actions.get(request.method());
        if (action == null) {
            throw new AdminException(AdminProblem.METHOD_NOT_ALLOWED, "the path supports only " + actions.keySet());
        }
        return action.serve(request);
    }

    private Map<String, Action> actions(List<String> path) throws AdminException {
        String first = path.isEmpty() ? "" : path.get(0);
        return switch (first) {
            case "status" -> path.size() == 1 ? Map.of(GET, r -> fleet.status()) : Map.of();
            case "members" -> members(path);
            case "endpoints" ->
                path.size() == 3 && path.get(2).equals("drain")
                        ? Map.of(POST, r -> fleet.drain(path.get(1)))
                        : Map.of();
            case "programs" -> path.size() == 3 ? Map.of(GET, r -> fleet.program(path.get(1), path.get(2))) : Map.of();
            case "keys" -> keys(path);
            case "routes", "pools", "organisations" -> resources(path);
            default -> Map.of();
        };
    }

    private Map<String, Action> members(List<String> path) {
        if (path.size() == 1) {
            return Map.of(GET, r -> fleet.members());
        }
        return path.size() == 2
                ? Map.of(
                        PUT, r -> fleet.addMember(path.get(1), r),
                        DELETE, r -> fleet.removeMember(path.get(1)))
                : Map.of();
    }

    private Map<String, Action> keys(List<String> path) {
        if (path.size() == 1) {
            return Map.of(POST, keys::create, GET, r -> resources.list(ResourceKind.KEY));
        }
        return path.size() == 2 ? Map.of(DELETE, r -> keys.revoke(path.get(1), r)) : Map.of();
    }

    private Map<String, Action> resources(List<String> path) {
        ResourceKind kind = ResourceKind.of(path.get(0));
        if (path.size() == 1) {
            return Map.of(GET, r -> resources.list(kind));
        }
        String name = path.get(1);
        return path.size() == 2
                ? Map.of(
                        GET, r -> resources.get(kind, name),
                        PUT, r -> resources.put(kind, name, r),
                        DELETE, r -> resources.delete(kind, name, r))
                : Map.of();
    }

    /** Serves the requests of one method on a path. */
    @FunctionalInterface
    private interface Action {
        AdminReply serve(AdminRequest request) throws AdminException;
    }
}
