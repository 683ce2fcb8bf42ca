package org.cicadahead.testbed.fleet;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Tells which process of the fleet a loopback connection comes from, by the tables of the operating system. A link
 * thereby isolates one process although all processes share the loopback address.
 */
final class SocketOwners {
    private static final List<Path> TABLES = List.of(Path.of("/proc/net/tcp"), Path.of("/proc/net/tcp6"));
    private static final int LOCAL_COLUMN = 1;
    private static final int INODE_COLUMN = 9;
    private static final int HEXADECIMAL = 16;

    private SocketOwners() {}

    /** Returns whether the process has a socket with the local port. */
    static boolean owns(long pid, int localPort) {
        for (Path table : TABLES) {
            String inode = inode(table, localPort);
            if (inode != null && holds(pid, inode)) {
                return true;
            }
        }
        return false;
    }

    private static String inode(Path table, int localPort) {
        try {
            for (String line : Files.readAllLines(table)) {
                String[] columns = line.strip().split("\\s+");
                String local = columns[LOCAL_COLUMN];
                int colon = local.lastIndexOf(':');
                if (columns.length > INODE_COLUMN
                        && local.matches("[0-9A-F]+:[0-9A-F]{4}")
                        && Integer.parseInt(local.substring(colon + 1), HEXADECIMAL) == localPort
                        && !columns[INODE_COLUMN].equals("0")) {
                    return columns[INODE_COLUMN];
                }
            }
        } catch (IOException e) {
            return null;
        }
        return null;
    }

    private static boolean holds(long pid, String inode) {
        try (DirectoryStream<Path> descriptors = Files.newDirectoryStream(Path.of("/proc/" + pid + "/fd"))) {
            for (Path descriptor : descriptors) {
                if (isSocket(descriptor, inode)) {
                    return true;
                }
            }
        } catch (IOException e) {
            return false;
        }
        return false;
    }

    private static boolean isSocket(Path descriptor, String inode) {
        try {
            return Files.readSymbolicLink(descriptor).toString().equals("socket:[" + inode + "]");
        } catch (IOException e) {
            return false;
        }
    }
}
