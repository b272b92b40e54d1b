Feature: the log tells which software wrote a stream

  Scenario: the line that ends a stream names versions and what it resumes
    # Guards against streams that hold events of two software versions and
    # cannot be told from others in the logs.
    Given a daemon and two engines of one software version on the platform
    When a caller resumes a stream whose engine breaks off
    Then the line that ends it names the version and the resumed attempt
