Feature: A target in a cold start receives no more work than it can handle

  Background:
    Given the site derwent
    And version v1 in force everywhere
    And 60 callers a second

  Scenario: Half of the engines turn cold without notice
    When half the engines turn cold
    And 3 seconds pass
    Then no engine ran over its limit
    And every answer is complete and from one version

  Scenario: Half of the engines are restarted with nothing loaded
    When half the engines are restarted cold
    Then version v1 is in force everywhere
    And no engine ran over its limit
    And every answer is complete and from one version
    And each refusal that reports not run is true
