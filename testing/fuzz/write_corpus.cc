// Writes the framings that the tests of both sides share to files, as first
// inputs of the fuzz targets: write_corpus DIRECTORY

#include <cstddef>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <string>

#include "bluebell/http/internal/framing_samples.h"

namespace {

void Write(const std::filesystem::path& file, const std::string& bytes) {
  std::ofstream(file, std::ios::binary) << bytes;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) {
    std::cerr << "usage: write_corpus DIRECTORY\n";
    return 2;
  }
  const std::filesystem::path root = argv[1];
  std::filesystem::create_directories(root / "request");
  std::filesystem::create_directories(root / "response");
  std::size_t number = 0;
  for (const bluebell::framing_sample& sample : bluebell::FramingSamples()) {
    const std::string name = std::to_string(number++);
    Write(root / "request" / name, bluebell::RequestBytes(sample, "/x"));
    Write(root / "response" / name, bluebell::ResponseBytes(sample, ""));
  }
  return 0;
}
