//! Error messages for invalid settings files, and the rejection of malformed messages.

use starlinghill_runtime::frame::{encode, Reader, MAX_MESSAGE_BYTES, PROTOCOL_VERSION};
use starlinghill_runtime::settings::{NodeSettings, SettingsError};
use std::io::ErrorKind;
use test_case::test_case;

const VALID: &str = r#"
[self]
node = "edge-1"
ip = "10.1.0.37"
zone = "a"
first_start = true
unknown = "ignored"
[self.limits]
memory_mb = 260
open_files = 4100
[network]
local_ports = [7560,7575]
seeds = ["10.1.0.40:8381"]
[network.listen]
front = "10.1.0.37:8388"
[provider]
beat = "1500ms"
[terms.bounds]
drain = "2500ms"
apply = "2.5s"
grace = "6s"
retry_ratio = 0.2
retry_extra = 62
quota_window = "5s"
quota_excess = 0.1
quota_extra = 20
"#;

fn read_settings(text: &str) -> Result<NodeSettings, Vec<String>> {
    let value = toml::from_str(text).unwrap_or_else(|error| panic!("{error}"));
    NodeSettings::from_value(&value).map_err(|errors| errors.iter().map(ToString::to_string).collect())
}

#[test]
fn a_valid_file_is_read_and_unknown_fields_are_ignored() {
    let node = read_settings(VALID).unwrap_or_else(|errors| panic!("{errors:?}"));
    assert_eq!(node.bounds.apply, node.bounds.drain);
    assert_eq!(node.internal_address(node.ip, 1).to_string(), "10.1.0.37:7561");
    assert!(node.control.is_none() && node.data_dir.is_none() && node.first_start);
    assert_eq!(node.max_peers(), 2_050);
}

// Guards against a settings file that ends the process by an overflow of the stack.
#[test_case("[", "]"; "lists")]
#[test_case("{a=", "}"; "inline tables")]
fn a_file_that_is_nested_very_deeply_is_refused(open: &str, close: &str) {
    let folder = std::env::temp_dir().join(format!("nested-settings-{}-{}", std::process::id(), open.len()));
    std::fs::create_dir_all(&folder).unwrap_or_else(|error| panic!("{error}"));
    let path = folder.join("node.toml");
    let text = format!("x = {}1{}\n{VALID}", open.repeat(50_000), close.repeat(50_000));
    std::fs::write(&path, text).unwrap_or_else(|error| panic!("{error}"));
    let refused = NodeSettings::from_file(&path).map(drop);
    let _ = std::fs::remove_dir_all(&folder);
    assert!(matches!(refused, Err(SettingsError::Unparsable { .. })), "{refused:?}");
}

#[test_case("ip = \"10.1.0.37\"", "ip = \"ten\"", "self.ip: found \"ten\", allowed: an IP address"; "invalid address")]
#[test_case("node = \"edge-1\"", "", "self.node: found nothing, allowed: a text that is not empty"; "missing value")]
#[test_case("\"2500ms\"", "\"2500\"", "terms.bounds.drain: found \"2500\", allowed: a time"; "duration without unit")]
#[test_case("[7560,7575]", "[7560,7561]", "network.local_ports: found [7560,7561], allowed: two ports"; "too few ports")]
#[test_case("[\"10.1.0.40:8381\"]", "[7]", "network.seeds[0]: found 7, allowed: an IP address with a port"; "invalid seed")]
#[test_case("retry_ratio = 0.2", "retry_ratio = -1", "terms.bounds.retry_ratio: found -1, allowed: a number"; "negative number")]
fn an_error_names_the_key_the_value_found_and_what_is_allowed(old: &str, new: &str, message: &str) {
    let errors = read_settings(&VALID.replace(old, new)).err().unwrap_or_default();
    assert!(errors.len() == 1 && errors[0].starts_with(message), "{errors:?}");
}

#[test]
fn all_errors_are_reported_at_once() {
    let text = VALID.replace("zone = \"a\"", "").replace("grace = \"6s\"", "grace = 6");
    assert_eq!(read_settings(&text).err().unwrap_or_default().len(), 2);
}

#[tokio::test]
async fn messages_are_decoded_as_sent_however_the_stream_is_split() {
    let sent: Vec<(u64, String)> = (0..50).map(|i| (i, "x".repeat(i as usize * 7))).collect();
    let wire: Vec<u8> = sent.iter().flat_map(encode).collect();
    for piece in [1, 3, 64, wire.len()] {
        let mut reader = Reader::default();
        let mut stream = stream_in_pieces(&wire, piece);
        for message in &sent {
            assert_eq!(reader.read(&mut stream).await.ok().flatten().as_ref(), Some(message));
        }
        assert!(matches!(reader.read::<(u64, String)>(&mut stream).await, Ok(None)));
    }
}

#[test_case(vec![0, 0, 0, 0, PROTOCOL_VERSION + 1]; "other protocol version")]
#[test_case(((MAX_MESSAGE_BYTES + 1) as u32).to_le_bytes().into_iter().chain([PROTOCOL_VERSION]).collect(); "message too long")]
#[test_case(vec![3, 0, 0, 0, PROTOCOL_VERSION, 255, 255, 255]; "undecodable body")]
#[tokio::test]
async fn a_malformed_message_is_rejected(wire: Vec<u8>) {
    let mut stream = stream_in_pieces(&wire, wire.len());
    let read = Reader::default().read::<(u64, String)>(&mut stream).await;
    assert_eq!(read.err().map(|error| error.kind()), Some(ErrorKind::InvalidData));
}

/// A stream that delivers `bytes` in pieces of `piece` bytes.
fn stream_in_pieces(bytes: &[u8], piece: usize) -> impl tokio::io::AsyncRead + Unpin {
    struct Pieces(std::collections::VecDeque<Vec<u8>>);
    impl tokio::io::AsyncRead for Pieces {
        fn poll_read(
            mut self: std::pin::Pin<&mut Self>,
            _: &mut std::task::Context,
            buffer: &mut tokio::io::ReadBuf,
        ) -> std::task::Poll<std::io::Result<()>> {
            if let Some(mut next) = self.0.pop_front() {
                let rest = next.split_off(next.len().min(buffer.remaining()));
                buffer.put_slice(&next);
                if !rest.is_empty() {
                    self.0.push_front(rest);
                }
            }
            std::task::Poll::Ready(Ok(()))
        }
    }
    Pieces(bytes.chunks(piece).map(<[u8]>::to_vec).collect())
}
