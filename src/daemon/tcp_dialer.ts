/** Opens links to other processes over TCP. */
import { Dialer } from '../distribution/mesh.js';
import { type Codec } from '../link/codec.js';
import { connect, type TcpLink } from '../link/tcp_link.js';

const DIAL_TIMEOUT_MS = 1_000;

export class TcpDialer extends Dialer {
  constructor(private readonly codec: Codec) {
    super();
  }

  dial(host: string, port: number): Promise<TcpLink> {
    return connect(host, port, this.codec, DIAL_TIMEOUT_MS);
  }
}
