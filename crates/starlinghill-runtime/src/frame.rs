//! Wire format between processes of the system: 4 bytes of length (little endian, of the body), 1 byte of protocol
//! version, and the body in `bitcode`.

use bitcode::{DecodeOwned, Encode};
use bytes::{Buf, BytesMut};
use std::future::Future;
use std::io;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Version of all messages. A message of another version is rejected, because bitcode could decode it into wrong
/// values.
pub const PROTOCOL_VERSION: u8 = 5;
/// Maximum length of a message's body, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 8 << 20;
const HEADER_BYTES: usize = 5;

/// Encodes a message as a frame.
pub fn encode<T: Encode>(message: &T) -> Vec<u8> {
    let body = bitcode::encode(message);
    let mut frame = Vec::with_capacity(HEADER_BYTES + body.len());
    frame.extend_from_slice(&(body.len() as u32).to_le_bytes());
    frame.push(PROTOCOL_VERSION);
    frame.extend_from_slice(&body);
    frame
}

/// Writes a message as one frame.
pub async fn write<T: Encode>(stream: &mut (impl AsyncWrite + Unpin), message: &T) -> io::Result<()> {
    stream.write_all(&encode(message)).await
}

/// Maximum of buffered bytes of later requests while one is handled. It bounds the memory that a peer can occupy.
const MAX_READ_AHEAD_BYTES: usize = 64 << 10;

/// Reads messages from a stream. Dropping the future of `read` loses no data: what was received stays in the buffer.
#[derive(Default)]
pub struct Reader {
    buffer: BytesMut,
}

impl Reader {
    /// The next message; `None` if the peer closed the stream between two messages.
    pub async fn read<T: DecodeOwned>(
        &mut self,
        stream: &mut (impl AsyncRead + Unpin),
    ) -> io::Result<Option<T>> {
        loop {
            if let Some(message) = self.decode_next()? {
                return Ok(Some(message));
            }
            if stream.read_buf(&mut self.buffer).await? == 0 {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        }
    }

    /// Runs `work` as long as the peer stays connected; `None` if it disconnects first. Requests that arrive
    /// meanwhile are buffered up to a limit. Beyond it the stream isn't read, and a disconnection isn't noticed,
    /// until `work` completes.
    pub async fn run_while_connected<T>(
        &mut self,
        stream: &mut (impl AsyncRead + Unpin),
        work: impl Future<Output = T>,
    ) -> Option<T> {
        tokio::pin!(work);
        loop {
            tokio::select! {
                biased;
                work = &mut work => return Some(work),
                read = stream.read_buf(&mut self.buffer), if self.buffer.len() < MAX_READ_AHEAD_BYTES => match read {
                    Ok(0) | Err(_) => return None,
                    Ok(_) => {}
                },
            }
        }
    }

    fn decode_next<T: DecodeOwned>(&mut self) -> io::Result<Option<T>> {
        let reject = |message: String| Err(io::Error::new(io::ErrorKind::InvalidData, message));
        let Some(header) = self.buffer.first_chunk::<HEADER_BYTES>() else { return Ok(None) };
        let length = u32::from_le_bytes([header[0], header[1], header[2], header[3]]) as usize;
        if header[4] != PROTOCOL_VERSION {
            return reject(format!("protocol version {}, allowed: {PROTOCOL_VERSION}", header[4]));
        }
        if length > MAX_MESSAGE_BYTES {
            return reject(format!("message of {length} bytes, allowed: at most {MAX_MESSAGE_BYTES}"));
        }
        if self.buffer.len() < HEADER_BYTES + length {
            self.buffer.reserve(HEADER_BYTES + length - self.buffer.len());
            return Ok(None);
        }
        self.buffer.advance(HEADER_BYTES);
        let body = self.buffer.split_to(length);
        match bitcode::decode(&body) {
            Ok(message) => Ok(Some(message)),
            Err(error) => reject(format!("cannot decode the message: {error}")),
        }
    }
}
