/* A TCP proxy for one direction of connecting. While the link is held, what both sides send stays on its way, and is
 * delivered in order once the link is released. */
#include "lab.h"

#include <glib-unix.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

struct _Link
{
  guint port, target;
  int listener;
  gboolean held;
  GPtrArray *pipes; /* Pipe */
};

typedef struct
{
  Link *link;
  int fds[2]; /* the side that connected, and the target */
  guint sources[2];
} Pipe;

static void
pipe_close (Pipe *pipe)
{
  for (guint i = 0; i < 2; i++)
    {
      if (pipe->sources[i])
        g_source_remove (pipe->sources[i]);
      close (pipe->fds[i]);
    }
  g_ptr_array_remove_fast (pipe->link->pipes, pipe);
  g_free (pipe);
}

static gboolean
on_readable (gint fd, GIOCondition condition, gpointer data)
{
  Pipe *pipe = data;
  int to = fd == pipe->fds[0] ? pipe->fds[1] : pipe->fds[0];
  char buffer[65536];
  ssize_t n = recv (fd, buffer, sizeof buffer, 0);
  ssize_t sent = 0;

  while (n > 0 && sent < n)
    {
      ssize_t k = send (to, buffer + sent, (size_t) (n - sent), MSG_NOSIGNAL);
      if (k <= 0)
        break;
      sent += k;
    }
  if (n > 0 && sent == n)
    return G_SOURCE_CONTINUE;
  pipe->sources[fd == pipe->fds[0] ? 0 : 1] = 0; /* this source is removed by its return value */
  pipe_close (pipe);
  return G_SOURCE_REMOVE;
}

static void
pipe_watch (Pipe *pipe)
{
  for (guint i = 0; i < 2; i++)
    if (!pipe->link->held && !pipe->sources[i])
      pipe->sources[i] = g_unix_fd_add (pipe->fds[i], G_IO_IN | G_IO_HUP | G_IO_ERR, on_readable, pipe);
    else if (pipe->link->held && pipe->sources[i])
      {
        g_source_remove (pipe->sources[i]);
        pipe->sources[i] = 0;
      }
}

static gboolean
on_connect (gint fd, GIOCondition condition, gpointer data)
{
  Link *link = data;
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK),
                                 .sin_port = htons ((guint16) link->target) };
  int from = accept (fd, NULL, NULL), to = socket (AF_INET, SOCK_STREAM, 0), on = 1;
  Pipe *pipe;

  if (from < 0 || connect (to, (struct sockaddr *) &address, sizeof address) != 0)
    {
      close (from);
      close (to);
      return G_SOURCE_CONTINUE;
    }
  setsockopt (from, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  setsockopt (to, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  pipe = g_new0 (Pipe, 1);
  pipe->link = link;
  pipe->fds[0] = from;
  pipe->fds[1] = to;
  g_ptr_array_add (link->pipes, pipe);
  pipe_watch (pipe);
  return G_SOURCE_CONTINUE;
}

Link *
link_new (guint target)
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t size = sizeof address;
  Link *link = g_new0 (Link, 1);

  link->target = target;
  link->pipes = g_ptr_array_new ();
  link->listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (bind (link->listener, (struct sockaddr *) &address, size) != 0 || listen (link->listener, 64) != 0
      || getsockname (link->listener, (struct sockaddr *) &address, &size) != 0)
    lab_end (NOT_RUN, "a proxy can't listen");
  link->port = ntohs (address.sin_port);
  g_unix_fd_add (link->listener, G_IO_IN, on_connect, link);
  return link;
}

guint
link_port (const Link *link)
{
  return link->port;
}

void
link_hold (Link *link, gboolean held)
{
  link->held = held;
  for (guint i = 0; i < link->pipes->len; i++)
    pipe_watch (link->pipes->pdata[i]);
}
