Feature: Each caller receives a complete answer, and "not run" is always true

  Background:
    Given the site derwent
    And version v1 in force everywhere

  Scenario: Engines break off their streams
    Given 20 callers a second
    When the back end of hobart has break_after set to 3
    And 3 seconds pass
    Then every answer is complete and from one version
    And each refusal that reports not run is true

  Scenario: Late answers arrive after a network partition ends
    Given 20 callers a second
    When hobart is cut off from burnie by silence
    And 3 seconds pass
    And all cuts are healed
    And 2 seconds pass
    Then every answer is complete and from one version
    And each refusal that reports not run is true

  Scenario: Targets are killed while requests run
    Given 40 callers a second
    And 20 settlements a second without keys
    When the back end of burnie-service-1 has delay_s set to 1
    And the back end of hobart-service-1 has delay_s set to 1
    And 1 seconds pass
    And the target hobart-engine-1 is killed
    And the target burnie-engine-1 is killed
    And the daemon of launceston-engine-1 is killed
    And the target burnie-service-1 is killed
    And the daemon of hobart-service-1 is killed
    And 2 seconds pass
    Then every answer is complete and from one version
    And each refusal that reports not run is true
    And each instruction ran at most once

  Scenario: All engines of a domain stop answering and links are reset
    Given 20 callers a second
    When the back end of launceston has silent set to true
    And hobart is cut off from burnie by reset
    And 2 seconds pass
    And the daemon of launceston-engine-1 is killed
    And the daemon of launceston-engine-2 is killed
    And 1 seconds pass
    Then every answer is complete and from one version
    And each refusal that reports not run is true
